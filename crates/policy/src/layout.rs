//! Groups the endpoints of one pool and data centre into cells of a bounded size.
//!
//! Invariant: the layout is a function of the configuration alone, so that all VMs of one generation
//! agree on it. A cell has one home VM, so cells bound the state that a home has: without them, one VM
//! would decide for all 324 engines of a data centre.

use spanfold_declare::{Catalogue, EndpointKind};
use spanfold_kernel::{rendezvous, rendezvous_order};
use std::collections::{BTreeMap, HashMap};

/// Target number of endpoints in a cell.
pub const ENDPOINTS_PER_CELL: usize = 16;

/// A key's group is its highest 16 bits.
const GROUP_SHIFT_BITS: u32 = 48;

/// Assignment of endpoints to cells.
#[derive(Clone, Debug, Default)]
pub struct CellLayout {
    /// Cells of a pool, by data centre.
    cells: HashMap<String, BTreeMap<String, Vec<String>>>,
    /// Endpoints of a cell.
    members: BTreeMap<String, Vec<String>>,
    /// Cell of an endpoint.
    by_endpoint: HashMap<String, String>,
    /// Region of a data centre.
    regions: HashMap<String, String>,
}

impl CellLayout {
    /// Computes the layout of `catalogue`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::{Catalogue, Declarations, Document};
    /// use spanfold_policy::CellLayout;
    /// let text = "[pool p]\nkind = engine\nmodel = m\nversion = 1\n\
    ///     [endpoint e]\nkind = engine\naddress = 127.0.0.1:1\ndata_centre = d\n";
    /// let document = Document::parse("a.ini", text).unwrap();
    /// let catalogue = Catalogue::new(Declarations::check(&document).unwrap());
    /// let layout = CellLayout::new(&catalogue);
    /// assert_eq!(layout.cell_of("e"), Some("p/d/0"));
    /// assert_eq!(layout.members("p/d/0"), ["e"]);
    /// ```
    pub fn new(catalogue: &Catalogue) -> Self {
        let mut layout = Self::default();
        for (pool, members) in &catalogue.endpoints_by_pool {
            if catalogue.declarations.pools[pool].kind == EndpointKind::Store {
                continue;
            }
            let mut centres: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
            for member in members {
                let centre = catalogue.declarations.endpoints[member].data_centre.as_str();
                centres.entry(centre).or_default().push(member);
            }
            for (centre, endpoints) in centres {
                let region = catalogue.declarations.region(centre).to_owned();
                layout.regions.insert(centre.to_owned(), region);
                layout.add_data_centre(pool, centre, &endpoints);
            }
        }
        layout
    }

    fn add_data_centre(&mut self, pool: &str, centre: &str, endpoints: &[&str]) {
        let count = endpoints.len().div_ceil(ENDPOINTS_PER_CELL);
        let cells: Vec<String> = (0..count).map(|number| format!("{pool}/{centre}/{number}")).collect();
        for cell in &cells {
            self.members.insert(cell.clone(), Vec::new());
        }
        for endpoint in endpoints {
            let Some(cell) = rendezvous(endpoint, cells.iter().map(String::as_str)) else { continue };
            if let Some(members) = self.members.get_mut(cell) {
                members.push((*endpoint).to_owned());
            }
            self.by_endpoint.insert((*endpoint).to_owned(), cell.to_owned());
        }
        // Hashing may leave a cell empty; it would attract prompts that it cannot serve.
        let non_empty = cells.into_iter().filter(|cell| !self.members[cell].is_empty()).collect();
        self.cells.entry(pool.to_owned()).or_default().insert(centre.to_owned(), non_empty);
    }

    /// Returns the cell of `endpoint`; none for stores.
    pub fn cell_of(&self, endpoint: &str) -> Option<&str> {
        self.by_endpoint.get(endpoint).map(String::as_str)
    }

    /// Returns the endpoints of `cell`.
    pub fn members(&self, cell: &str) -> &[String] {
        self.members.get(cell).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of all cells.
    pub fn cells(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Returns the cells of `pool` in `centre`, the one that owns `group` first.
    pub fn cell_order(&self, pool: &str, centre: &str, group: u64) -> Vec<&str> {
        let Some(cells) = self.cells.get(pool).and_then(|centres| centres.get(centre)) else {
            return Vec::new();
        };
        rendezvous_order(&group.to_string(), cells.iter().map(String::as_str))
    }

    /// Returns the data centres with cells of `pool`, in the order to try.
    ///
    /// A prompt with whole blocks belongs to one data centre of its region, so that the region computes
    /// and stores it once; `own_centre` is next, then the others. A prompt without whole blocks starts
    /// in `own_centre`.
    pub fn data_centre_order(&self, pool: &str, own_centre: &str, group: u64, has_blocks: bool) -> Vec<&str> {
        let Some(centres) = self.cells.get(pool) else { return Vec::new() };
        let names = centres.iter().filter(|(_, cells)| !cells.is_empty()).map(|(name, _)| name.as_str());
        let mut order = rendezvous_order(&group.to_string(), names);
        let region = self.regions.get(own_centre).map_or(own_centre, String::as_str);
        let first = order
            .iter()
            .copied()
            .find(|name| self.regions.get(*name).map_or(*name, String::as_str) == region);
        order.sort_by_key(|name| match *name {
            name if has_blocks && first == Some(name) => 0,
            name if name == own_centre => 1,
            _ => 2,
        });
        order
    }
}

/// Returns the group of a block key: the bits that all blocks of one prompt share with the first.
///
/// A store lists keys without their prompts; a home uses the group to find the keys of its own cells.
pub(crate) const fn group_of(key: u64) -> u64 {
    key >> GROUP_SHIFT_BITS
}

/// Splits a cell's name into its pool and data centre.
pub(crate) fn split_cell(cell: &str) -> (&str, &str) {
    let mut segments = cell.split('/');
    (segments.next().unwrap_or_default(), segments.next().unwrap_or_default())
}
