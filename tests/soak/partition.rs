//! Partitions that keep an owner of the workers with some of them, and away from the rest of the cell.

use crate::proxy::Mode;

/// Which messages between the two sides are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    Both,
    /// Those that the side of the owner sends.
    Sent,
    /// Those that the side of the owner is sent.
    Received,
}

/// The end of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Store,
    Vm(usize),
    Worker(usize),
}

/// An owner and its workers on one side; the store, the other VMs and the other workers on the other.
#[derive(Debug, Clone)]
pub(crate) struct Partition {
    pub(crate) owner: usize,
    pub(crate) kept: Vec<usize>,
    pub(crate) loss: Loss,
}

impl Partition {
    fn keeps(&self, end: End) -> bool {
        match end {
            End::Store => false,
            End::Vm(index) => index == self.owner,
            End::Worker(index) => self.kept.contains(&index),
        }
    }

    /// Returns what happens on the path of a VM to `far`, if the partition separates them.
    fn cut(&self, vm: usize, far: End) -> Option<Mode> {
        let is_inside = self.keeps(End::Vm(vm));
        if is_inside == self.keeps(far) {
            return None;
        }
        Some(match (self.loss, is_inside) {
            (Loss::Both, _) => Mode::Silent,
            (Loss::Sent, true) | (Loss::Received, false) => Mode::Mute,
            (Loss::Sent, false) | (Loss::Received, true) => Mode::Deaf,
        })
    }
}

/// Returns what happens on the path of a VM to `far` while all of the partitions last.
pub(crate) fn cut(partitions: &[Partition], vm: usize, far: End) -> Option<Mode> {
    let mut cuts = partitions.iter().filter_map(|each| each.cut(vm, far));
    let first = cuts.next()?;
    let agrees = cuts.all(|other| other == first);
    Some(if agrees { first } else { Mode::Silent })
}
