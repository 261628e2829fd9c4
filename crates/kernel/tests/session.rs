//! Checks that a replayed session starts from the state of the recorded kernel.
use spanfold_kernel::{Kernel, World};

#[test]
fn a_new_kernel_contains_its_own_vm_row() {
    let world = World { own_name: "vm-1".into(), data_centre: "dc-a".into(), ..World::default() };
    let kernel = Kernel::new(world);
    let rows: Vec<_> = kernel
        .world()
        .vms
        .iter()
        .map(|(index, row)| (kernel.world().vm_names.name(index).to_owned(), row.data_centre.clone()))
        .collect();
    assert_eq!(rows, [("vm-1".to_owned(), "dc-a".to_owned())]);
}
