//! Admission of jobs under overload: which submissions are refused, and when to return.
//!
//! The owner publishes an [`outlook::Outlook`] while there is a shortage. Every VM judges the
//! submissions that it receives by the last one, before anything is stored. Without a shortage
//! there is no outlook and everything is accepted. See `docs/design/cell-admission.md`.

pub mod arrivals;
pub mod backlog;
pub mod bucket;
pub mod judge;
pub mod large;
pub mod outlook;
pub mod rates;
pub mod retry;
pub mod tombstones;
mod work;
