//! Sequence numbers that other VMs used, so that no message is accepted twice.
//!
//! Invariant: a number of an incarnation is accepted at most once. One that is older than the window is
//! rejected, because it is no longer known whether it was used.

use crate::VmKey;
use std::collections::BTreeMap;

/// Sequence numbers that a window covers: messages of one VM overtake one another by less.
const WINDOW_BITS: u64 = 1_024;
/// Bits of a word.
const WORD_BITS: u64 = 64;
/// Incarnations of a VM that are remembered.
const MAX_INCARNATIONS: usize = 4;

/// The newest sequence numbers of one incarnation.
#[derive(Debug)]
struct SequenceWindow {
    newest: u64,
    /// One bit for each number, at its remainder by [`WINDOW_BITS`].
    used: [u64; (WINDOW_BITS / WORD_BITS) as usize],
}

impl SequenceWindow {
    const fn new() -> Self {
        Self { newest: 0, used: [0; (WINDOW_BITS / WORD_BITS) as usize] }
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(WINDOW_BITS) <= self.newest {
            return false;
        }
        if sequence > self.newest {
            if sequence - self.newest >= WINDOW_BITS {
                self.used.fill(0);
            } else {
                (self.newest + 1..=sequence).for_each(|skipped| *self.word(skipped) &= !Self::mask(skipped));
            }
            self.newest = sequence;
        }
        let mask = Self::mask(sequence);
        let word = self.word(sequence);
        let is_new = *word & mask == 0;
        *word |= mask;
        is_new
    }

    const fn mask(sequence: u64) -> u64 {
        1 << (sequence % WORD_BITS)
    }

    const fn word(&mut self, sequence: u64) -> &mut u64 {
        &mut self.used[(sequence % WINDOW_BITS / WORD_BITS) as usize]
    }
}

/// Sequence numbers that other VMs used, by VM and incarnation.
#[derive(Debug, Default)]
pub struct UsedSequences {
    rows: BTreeMap<VmKey, Vec<(u64, SequenceWindow)>>,
}

impl UsedSequences {
    /// Records a sequence number; false if it was used before, or is too old to know.
    ///
    /// Numbers start at one. A new incarnation is accepted only if the VM `is_current` in it.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{UsedSequences, VmKey};
    /// let (mut sequences, vm) = (UsedSequences::default(), VmKey::of("vm-2"));
    /// assert!(sequences.accept(vm, 7, 1, true));
    /// assert!(!sequences.accept(vm, 7, 1, true));
    /// assert!(!sequences.accept(vm, 8, 1, false));
    /// ```
    pub fn accept(&mut self, vm: VmKey, incarnation: u64, sequence: u64, is_current: bool) -> bool {
        let windows = self.rows.entry(vm).or_default();
        let position = windows.iter().position(|(known, _)| *known == incarnation);
        let position = match position {
            Some(position) => position,
            None if is_current => {
                if windows.len() == MAX_INCARNATIONS {
                    windows.remove(0);
                }
                windows.push((incarnation, SequenceWindow::new()));
                windows.len() - 1
            }
            None => return false,
        };
        windows[position].1.accept(sequence)
    }

    /// Discards the numbers of the VMs that `is_known` rejects.
    pub fn retain(&mut self, is_known: impl Fn(VmKey) -> bool) {
        self.rows.retain(|vm, _| is_known(*vm));
    }
}
