//! Where a request goes, whether it is refused, and whether it is sent again.

mod admission;
mod cold_limit;
mod placement;
mod retry_budget;

pub use admission::{AdmissionVerdict, AdmissionView, take_part};
pub use cold_limit::{ColdRight, ColdSends, ColdTerms, ListStanding};
pub use placement::{PlacementAsk, PlacementChoice, place, salt_text, salt_version};
pub use retry_budget::{BudgetTerms, RetryBudget};
