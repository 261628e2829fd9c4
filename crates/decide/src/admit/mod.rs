//! Where a request goes, whether it is refused, and whether it is sent again.

mod placement;
mod retry_budget;
mod return_book;

pub use placement::{PlacementAsk, PlacementChoice, place, salt_text, salt_version};
pub use retry_budget::{BudgetTerms, RetryBudget};
pub use return_book::{LateVerdict, RequestTicketView, ReturnBook};
