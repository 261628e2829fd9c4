//! The text form: INI sections with headers `[kind name]` and `key = value` lines.
//!
//! Invariant: printing a document and parsing it again gives the same sections and properties.
//! The event-based parser preserves line numbers and duplicates; a map-based reader would lose both.

use crate::Findings;
use ini_core::{Item, Parser};
use std::collections::BTreeMap;
use std::fmt;

/// One `key = value` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Property {
    /// The key, trimmed.
    pub key: String,
    /// The value, trimmed.
    pub value: String,
    /// The line, counted from one.
    pub line: u32,
}

/// One `[kind name]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The header's first token.
    pub kind: String,
    /// The remainder of the header; empty for a section that occurs only once.
    pub name: String,
    /// The header's line, counted from one.
    pub line: u32,
    /// The file that contains it.
    pub file: String,
    /// The properties below the header.
    pub properties: Vec<Property>,
}

impl Section {
    /// Returns the header without brackets.
    pub fn header(&self) -> String {
        if self.name.is_empty() { self.kind.clone() } else { format!("{} {}", self.kind, self.name) }
    }

    /// Returns the value of `key`, if it is set.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.properties.iter().find(|property| property.key == key).map(|property| property.value.as_str())
    }

    /// Sets `key`, in its present position if it is already set.
    pub fn set(&mut self, key: &str, value: &str) {
        let line = self.line;
        match self.properties.iter_mut().find(|property| property.key == key) {
            Some(property) => value.clone_into(&mut property.value),
            None => {
                self.properties.push(Property { key: key.to_owned(), value: value.to_owned(), line });
            }
        }
    }

    /// Whether kind, name, keys and values are equal, regardless of order and lines.
    fn has_same_content(&self, other: &Self) -> bool {
        fn pairs(section: &Section) -> BTreeMap<&str, &str> {
            section
                .properties
                .iter()
                .map(|property| (property.key.as_str(), property.value.as_str()))
                .collect()
        }
        self.header() == other.header() && pairs(self) == pairs(other)
    }
}

impl fmt::Display for Section {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[{}]", self.header())?;
        for property in &self.properties {
            writeln!(formatter, "{} = {}", property.key, property.value)?;
        }
        Ok(())
    }
}

/// A whole INI text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// The sections, in order of occurrence.
    pub sections: Vec<Section>,
}

impl Document {
    /// Parses `text`; findings refer to it as `file`.
    ///
    /// # Errors
    /// All malformed lines, keys outside a section, repeated sections and repeated keys.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::Document;
    /// let document = Document::parse("a.ini", "[pool p]\nkind = engine\n").unwrap();
    /// assert_eq!(document.sections[0].name, "p");
    /// assert_eq!(Document::parse("a.ini", &document.to_string()).unwrap(), document);
    /// assert_eq!(Document::parse("a.ini", "x = 1\n[oops").unwrap_err().0.len(), 2);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut document = Self::default();
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            match item {
                Item::Section(header) => document.sections.push(parse_header(file, line, header)),
                Item::Property(key, value) => {
                    let property =
                        Property { key: key.to_owned(), value: value.unwrap_or_default().to_owned(), line };
                    match (document.sections.last_mut(), value) {
                        (_, None) => findings.add(file, line, key, "expected `key = value`"),
                        (None, _) => findings.add(file, line, key, "is outside any section"),
                        (Some(section), _) => section.properties.push(property),
                    }
                }
                Item::Error(text) => findings.add(file, line, text, "malformed section header"),
                Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            }
        }
        report_duplicates(&document, &mut findings);
        findings.into_result(document)
    }

    /// Joins the documents of several files.
    ///
    /// # Errors
    /// Sections that occur in two of them.
    pub fn join(documents: Vec<Self>) -> Result<Self, Findings> {
        let document =
            Self { sections: documents.into_iter().flat_map(|document| document.sections).collect() };
        let mut findings = Findings::default();
        report_duplicates(&document, &mut findings);
        findings.into_result(document)
    }

    /// Returns the section of this kind and name, mutable.
    pub fn section_mut(&mut self, kind: &str, name: &str) -> Option<&mut Section> {
        self.sections.iter_mut().find(|section| section.kind == kind && section.name == name)
    }
}

impl fmt::Display for Document {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, section) in self.sections.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{section}")?;
        }
        Ok(())
    }
}

fn parse_header(file: &str, line: u32, header: &str) -> Section {
    let (kind, name) = header.trim().split_once(char::is_whitespace).unwrap_or((header.trim(), ""));
    Section {
        kind: kind.to_owned(),
        name: name.trim().to_owned(),
        line,
        file: file.to_owned(),
        properties: Vec::new(),
    }
}

fn report_duplicates(document: &Document, findings: &mut Findings) {
    let mut headers: BTreeMap<String, (&str, u32)> = BTreeMap::new();
    for section in &document.sections {
        if let Some((file, line)) = headers.insert(section.header(), (&section.file, section.line)) {
            findings.add(
                &section.file,
                section.line,
                section.header(),
                format!("stands already at {file}:{line}"),
            );
        }
        let mut keys: BTreeMap<&str, u32> = BTreeMap::new();
        for property in &section.properties {
            if let Some(line) = keys.insert(&property.key, property.line) {
                let key = format!("{}/{}", section.header(), property.key);
                findings.add(&section.file, property.line, key, format!("is already set on line {line}"));
            }
        }
    }
}

/// Returns the sections that differ between two documents: a marker (`+`, `-`, `~`) and the header.
///
/// # Examples
/// ```
/// use spanfold_declare::{Document, changed_sections};
/// let old = Document::parse("a", "[pool p]\nkind = engine\n").unwrap();
/// let new = Document::parse("b", "[pool p]\nkind = store\n[pool q]\nkind = store\n").unwrap();
/// let changes = changed_sections(&old, &new);
/// assert_eq!(changes, [('~', "pool p".to_owned()), ('+', "pool q".to_owned())]);
/// ```
pub fn changed_sections(old: &Document, new: &Document) -> Vec<(char, String)> {
    let old_sections: BTreeMap<_, _> =
        old.sections.iter().map(|section| (section.header(), section)).collect();
    let new_sections: BTreeMap<_, _> =
        new.sections.iter().map(|section| (section.header(), section)).collect();
    let mut changes = Vec::new();
    for (header, section) in &old_sections {
        match new_sections.get(header) {
            None => changes.push(('-', header.clone())),
            Some(other) if !section.has_same_content(other) => changes.push(('~', header.clone())),
            Some(_) => {}
        }
    }
    changes.extend(
        new_sections
            .keys()
            .filter(|header| !old_sections.contains_key(*header))
            .map(|header| ('+', header.clone())),
    );
    changes
}
