//! Labels and selectors, in the syntax that is usual for cluster operators.
//!
//! Invariant: a selector's printed form parses to the same selector. Terms are separated by commas
//! and all must match; an empty selector matches everything.

use std::collections::BTreeMap;
use std::fmt;

/// Labels of a client account, endpoint or pool, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Labels(BTreeMap<String, String>);

impl Labels {
    /// Parses `key=value, key=value`.
    ///
    /// # Errors
    /// A message that names the malformed term.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::Labels;
    /// let labels = Labels::parse("tier=gold, size=large").unwrap();
    /// assert_eq!(labels.get("tier"), Some("gold"));
    /// assert!(Labels::parse("tier gold").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut labels = BTreeMap::new();
        for label in text.split(',').map(str::trim).filter(|label| !label.is_empty()) {
            let (key, value) =
                label.split_once('=').ok_or_else(|| format!("label `{label}` is not `key=value`"))?;
            let (key, value) = (check_token(key.trim())?, check_token(value.trim())?);
            if labels.insert(key.to_owned(), value.to_owned()).is_some() {
                return Err(format!("label `{key}` is set twice"));
            }
        }
        Ok(Self(labels))
    }

    /// Returns the value of label `key`, if it is set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Sets label `key`, or removes it if `value` is none.
    pub fn set(&mut self, key: &str, value: Option<&str>) {
        match value {
            Some(value) => self.0.insert(key.to_owned(), value.to_owned()),
            None => self.0.remove(key),
        };
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let labels: Vec<_> = self.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
        formatter.write_str(&labels.join(", "))
    }
}

/// One condition of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SelectorTerm {
    Equal(String, String),
    NotEqual(String, String),
    In(String, Vec<String>),
    NotIn(String, Vec<String>),
    Present(String),
    Absent(String),
}

/// Conditions on labels, all of which must match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector(Vec<SelectorTerm>);

impl Selector {
    /// Parses `key=value, key!=value, key in (a,b), key notin (a,b), key, !key`.
    ///
    /// # Errors
    /// A message that names the malformed term.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::{Labels, Selector};
    /// let selector = Selector::parse("tier in (gold, silver), !trial").unwrap();
    /// assert!(selector.matches(&Labels::parse("tier=gold").unwrap()));
    /// assert!(!selector.matches(&Labels::parse("tier=gold, trial=yes").unwrap()));
    /// assert_eq!(Selector::parse(&selector.to_string()).unwrap(), selector);
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        split_outside_parentheses(text)?
            .into_iter()
            .map(str::trim)
            .filter(|term| !term.is_empty())
            .map(parse_term)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// Whether `labels` match all conditions.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|term| match term {
            SelectorTerm::Equal(key, value) => labels.get(key) == Some(value),
            SelectorTerm::NotEqual(key, value) => labels.get(key) != Some(value),
            SelectorTerm::In(key, values) => labels.get(key).is_some_and(|v| values.iter().any(|w| w == v)),
            SelectorTerm::NotIn(key, values) => {
                !labels.get(key).is_some_and(|v| values.iter().any(|w| w == v))
            }
            SelectorTerm::Present(key) => labels.get(key).is_some(),
            SelectorTerm::Absent(key) => labels.get(key).is_none(),
        })
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let terms: Vec<_> = self.0.iter().map(SelectorTerm::to_string).collect();
        formatter.write_str(&terms.join(", "))
    }
}

impl fmt::Display for SelectorTerm {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Equal(key, value) => write!(formatter, "{key}={value}"),
            Self::NotEqual(key, value) => write!(formatter, "{key}!={value}"),
            Self::In(key, values) => write!(formatter, "{key} in ({})", values.join(",")),
            Self::NotIn(key, values) => write!(formatter, "{key} notin ({})", values.join(",")),
            Self::Present(key) => write!(formatter, "{key}"),
            Self::Absent(key) => write!(formatter, "!{key}"),
        }
    }
}

fn parse_term(term: &str) -> Result<SelectorTerm, String> {
    if let Some(key) = term.strip_prefix('!') {
        return Ok(SelectorTerm::Absent(check_token(key.trim())?.to_owned()));
    }
    if let Some((key, value)) = term.split_once("!=") {
        return Ok(SelectorTerm::NotEqual(
            check_token(key.trim())?.to_owned(),
            check_token(value.trim())?.to_owned(),
        ));
    }
    if let Some((key, value)) = term.split_once('=') {
        return Ok(SelectorTerm::Equal(
            check_token(key.trim())?.to_owned(),
            check_token(value.trim())?.to_owned(),
        ));
    }
    let Some((key_and_operator, list)) = term.split_once('(') else {
        return Ok(SelectorTerm::Present(check_token(term)?.to_owned()));
    };
    let list = list.strip_suffix(')').ok_or_else(|| format!("`{term}` lacks its closing `)`"))?;
    let values = list
        .split(',')
        .map(|value| check_token(value.trim()).map(str::to_owned))
        .collect::<Result<Vec<_>, _>>()?;
    let tokens: Vec<_> = key_and_operator.split_whitespace().collect();
    match tokens.as_slice() {
        [key, "in"] => Ok(SelectorTerm::In(check_token(key)?.to_owned(), values)),
        [key, "notin"] => Ok(SelectorTerm::NotIn(check_token(key)?.to_owned(), values)),
        _ => Err(format!("`{term}` is not `key in (a,b)` or `key notin (a,b)`")),
    }
}

fn split_outside_parentheses(text: &str) -> Result<Vec<&str>, String> {
    let (mut terms, mut depth, mut start) = (Vec::new(), 0_i32, 0);
    for (offset, character) in text.char_indices() {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 0 => {
                terms.push(&text[start..offset]);
                start = offset + 1;
            }
            _ => {}
        }
        if !(0..=1).contains(&depth) {
            return Err(format!("parentheses of `{text}` do not match"));
        }
    }
    terms.push(&text[start..]);
    Ok(terms)
}

fn check_token(token: &str) -> Result<&str, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':' | '@');
    if token.is_empty() || !token.chars().all(is_allowed) {
        return Err(format!("`{token}` is empty or has characters other than letters, digits and `-_./:@`"));
    }
    Ok(token)
}
