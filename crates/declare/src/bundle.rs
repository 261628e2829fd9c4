//! Declarations split into content-addressed chunks.
//!
//! Invariant: a section's bucket depends only on its header, so that a change of one section
//! changes one chunk. Splitting the text by size instead would shift every later chunk on an
//! insertion, and one change among 24,000 accounts would send the whole document again.

use crate::{Document, Findings};
use std::collections::BTreeMap;

/// Number of buckets; at 24,000 accounts a chunk stays below a tenth of a megabyte.
pub const BUCKET_COUNT: usize = 64;

/// A document as chunks: digests in bucket order, and texts by digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bundle {
    /// The digest of each bucket's text; a split document has [`BUCKET_COUNT`] digests.
    pub digests: Vec<String>,
    /// The texts, by digest.
    pub chunks: BTreeMap<String, String>,
}

/// Why a bundle cannot be joined into a document.
#[derive(Debug, thiserror::Error)]
pub enum BundleError {
    /// A listed chunk is missing.
    #[error("chunk {0} is missing")]
    Missing(String),
    /// The chunks' text does not parse.
    #[error("{0}")]
    Malformed(Findings),
}

impl Bundle {
    /// Splits `document` into chunks.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::{Bundle, Document};
    /// let document = Document::parse("a", "[pool p]\nkind = engine\n[pool q]\nkind = store\n").unwrap();
    /// let bundle = Bundle::split(&document);
    /// assert_eq!(bundle.join().unwrap().sections.len(), 2);
    /// ```
    pub fn split(document: &Document) -> Self {
        let mut buckets = vec![Vec::new(); BUCKET_COUNT];
        for section in &document.sections {
            buckets[bucket_of(&section.header())].push(section.to_string());
        }
        let mut bundle = Self::default();
        for mut bucket in buckets {
            bucket.sort();
            let text = bucket.concat();
            let digest = chunk_digest(&text);
            bundle.digests.push(digest.clone());
            bundle.chunks.insert(digest, text);
        }
        bundle
    }

    /// Joins the chunks into the document.
    ///
    /// # Errors
    /// If a chunk is missing or does not parse.
    pub fn join(&self) -> Result<Document, BundleError> {
        let mut documents = Vec::new();
        for digest in &self.digests {
            let text = self.chunks.get(digest).ok_or_else(|| BundleError::Missing(digest.clone()))?;
            documents.push(Document::parse("accepted", text).map_err(BundleError::Malformed)?);
        }
        Document::join(documents).map_err(BundleError::Malformed)
    }
}

/// Returns the digest that names a chunk with this text.
///
/// # Examples
/// ```
/// assert_ne!(spanfold_declare::chunk_digest("a"), spanfold_declare::chunk_digest("b"));
/// ```
pub fn chunk_digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex()[..32].to_owned()
}

fn bucket_of(header: &str) -> usize {
    usize::from(blake3::hash(header.as_bytes()).as_bytes()[0]) % BUCKET_COUNT
}
