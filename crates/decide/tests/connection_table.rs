//! Limit on connections, over random histories.

use proptest::prelude::*;
use spanfold_decide::{
    CloseCause, ConnectionId, ConnectionPhase, ConnectionTable, ConnectionTimeouts, OpenRefusal,
};
use spanfold_entity::Moment;

const MAX_CONNECTIONS: usize = 12;
const MIN_LIFETIME_MILLIS: u64 = 100;

#[derive(Clone, Debug)]
enum Step {
    Open,
    SetPhase(usize, ConnectionPhase),
    SetBlocked(usize, bool),
    Serve(usize),
    Close(usize),
}

fn phase() -> impl Strategy<Value = ConnectionPhase> {
    prop_oneof![
        Just(ConnectionPhase::Idle),
        Just(ConnectionPhase::Head),
        Just(ConnectionPhase::Body),
        Just(ConnectionPhase::Working),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0_usize..30;
    prop_oneof![
        4 => Just(Step::Open),
        4 => (index.clone(), phase()).prop_map(|(index, phase)| Step::SetPhase(index, phase)),
        1 => (index.clone(), any::<bool>()).prop_map(|(index, blocked)| Step::SetBlocked(index, blocked)),
        1 => index.clone().prop_map(Step::Serve),
        1 => index.prop_map(Step::Close),
    ]
}

#[derive(Clone, Copy, Debug)]
struct ModelRow {
    id: ConnectionId,
    phase: ConnectionPhase,
    opened_at: Moment,
    is_blocked: bool,
    is_served: bool,
    is_open: bool,
}

impl ModelRow {
    /// Whether its request must not be cut.
    fn is_protected(&self) -> bool {
        self.phase == ConnectionPhase::Working && !self.is_blocked
    }

    fn is_unserved(&self) -> bool {
        self.phase != ConnectionPhase::Working && !self.is_blocked && !self.is_served
    }
}

proptest! {
    /// Guards against requests in work that are cut for new connections, and against connections beyond the limit.
    #[test]
    fn requests_in_work_are_not_cut_for_new_connections(
        steps in prop::collection::vec((step(), 0_u64..40), 1..400),
    ) {
        let mut table = ConnectionTable::new(MAX_CONNECTIONS);
        let mut rows: Vec<ModelRow> = Vec::new();
        let mut now = Moment(0);
        for (step, millis) in steps {
            now = now.after_millis(millis);
            match step {
                Step::Open => {
                    let opened = table.open(now, MIN_LIFETIME_MILLIS);
                    let open_rows = || rows.iter().filter(|row| row.is_open);
                    match opened {
                        Err(OpenRefusal::Full) => prop_assert!(open_rows().all(ModelRow::is_protected)),
                        Err(OpenRefusal::Until(moment)) => {
                            prop_assert!(moment > now);
                            let oldest = open_rows().filter(|row| row.is_unserved()).map(|row| row.opened_at).min();
                            prop_assert_eq!(oldest.map(|at| at.after_millis(MIN_LIFETIME_MILLIS)), Some(moment));
                        }
                        Ok((id, displaced)) => {
                            let oldest = open_rows().filter(|row| row.is_unserved()).map(|row| row.opened_at).min();
                            if let Some(displaced) = displaced {
                                let row = rows.iter_mut().find(|row| row.id == displaced && row.is_open).unwrap();
                                prop_assert!(!row.is_protected());
                                prop_assert!(oldest.is_none_or(|oldest| row.is_unserved() && row.opened_at == oldest));
                                row.is_open = false;
                            }
                            rows.push(ModelRow {
                                id,
                                phase: ConnectionPhase::Idle,
                                opened_at: now,
                                is_blocked: false,
                                is_served: false,
                                is_open: true,
                            });
                        }
                    }
                }
                Step::SetPhase(index, phase) => {
                    if let Some(row) = rows.get_mut(index) {
                        table.set_phase(row.id, phase, now);
                        row.phase = phase;
                    }
                }
                Step::SetBlocked(index, is_blocked) => {
                    if let Some(row) = rows.get_mut(index) {
                        table.set_blocked(row.id, is_blocked, now);
                        row.is_blocked = is_blocked;
                    }
                }
                Step::Serve(index) => {
                    if let Some(row) = rows.get_mut(index) {
                        table.record_served(row.id);
                        row.is_served = true;
                    }
                }
                Step::Close(index) => {
                    if let Some(row) = rows.get_mut(index) {
                        table.close(row.id);
                        row.is_open = false;
                    }
                }
            }
            prop_assert_eq!(table.len(), rows.iter().filter(|row| row.is_open).count());
            prop_assert!(table.len() <= MAX_CONNECTIONS);
        }
    }
}

/// Guards against connections that are held for ever without progress.
#[test]
fn connections_without_progress_are_closed() {
    let timeouts = ConnectionTimeouts { head_millis: 3_000, idle_millis: 15_000 };
    let at = |millis| Moment(0).after_millis(millis);
    let mut table = ConnectionTable::new(4);
    let mut open = || table.open(at(0), MIN_LIFETIME_MILLIS).unwrap().0;
    let (idle, head, working, blocked) = (open(), open(), open(), open());
    table.set_phase(head, ConnectionPhase::Head, at(1_000));
    table.set_phase(working, ConnectionPhase::Working, at(1_000));
    table.set_phase(blocked, ConnectionPhase::Working, at(1_000));
    table.set_blocked(blocked, true, at(2_000));
    // Its caller reads a little.
    table.set_blocked(blocked, true, at(9_000));
    assert_eq!(table.take_overdue(at(3_999), &timeouts), []);
    assert_eq!(table.take_overdue(at(4_000), &timeouts), [(head, CloseCause::SlowHead)]);
    assert_eq!(table.take_overdue(at(15_000), &timeouts), [(idle, CloseCause::Idle)]);
    assert_eq!(table.take_overdue(at(24_000), &timeouts), [(blocked, CloseCause::Unread)]);
    assert_eq!(table.take_overdue(at(99_000), &timeouts), []);
    assert_eq!(table.len(), 1);
}
