//! Labels and selectors, in the customary form of cluster operators.
//!
//! Invariant: a selector's printed form parses back to the same selector. Terms are joined by
//! commas and all must hold; an empty selector matches everything.

use std::collections::BTreeMap;
use std::fmt;

/// Labels of a client account, endpoint or pool: keys with values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Labels(BTreeMap<String, String>);

impl Labels {
    /// Parses `key=value, key=value`.
    ///
    /// # Errors
    /// A sentence that names the malformed part.
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
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (key, value) =
                part.split_once('=').ok_or_else(|| format!("label `{part}` is not `key=value`"))?;
            let (key, value) = (check_word(key.trim())?, check_word(value.trim())?);
            if labels.insert(key.to_owned(), value.to_owned()).is_some() {
                return Err(format!("label `{key}` stands twice"));
            }
        }
        Ok(Self(labels))
    }

    /// The value of label `key`, if it is set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Sets label `key`, or takes it away if `value` is none.
    pub fn set(&mut self, key: &str, value: Option<&str>) {
        match value {
            Some(value) => self.0.insert(key.to_owned(), value.to_owned()),
            None => self.0.remove(key),
        };
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<_> = self.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
        formatter.write_str(&parts.join(", "))
    }
}

/// One condition of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Term {
    Equal(String, String),
    Differ(String, String),
    Within(String, Vec<String>),
    Outside(String, Vec<String>),
    Present(String),
    Absent(String),
}

/// Conditions on labels, all of which must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector(Vec<Term>);

impl Selector {
    /// Parses `key=value, key!=value, key in (a,b), key notin (a,b), key, !key`.
    ///
    /// # Errors
    /// A sentence that names the malformed part.
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
            .filter(|part| !part.is_empty())
            .map(parse_term)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// Whether all conditions hold for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|term| match term {
            Term::Equal(key, value) => labels.get(key) == Some(value),
            Term::Differ(key, value) => labels.get(key) != Some(value),
            Term::Within(key, values) => labels.get(key).is_some_and(|v| values.iter().any(|w| w == v)),
            Term::Outside(key, values) => !labels.get(key).is_some_and(|v| values.iter().any(|w| w == v)),
            Term::Present(key) => labels.get(key).is_some(),
            Term::Absent(key) => labels.get(key).is_none(),
        })
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<_> = self.0.iter().map(Term::to_string).collect();
        formatter.write_str(&parts.join(", "))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Equal(key, value) => write!(formatter, "{key}={value}"),
            Self::Differ(key, value) => write!(formatter, "{key}!={value}"),
            Self::Within(key, values) => write!(formatter, "{key} in ({})", values.join(",")),
            Self::Outside(key, values) => write!(formatter, "{key} notin ({})", values.join(",")),
            Self::Present(key) => write!(formatter, "{key}"),
            Self::Absent(key) => write!(formatter, "!{key}"),
        }
    }
}

fn parse_term(part: &str) -> Result<Term, String> {
    if let Some(key) = part.strip_prefix('!') {
        return Ok(Term::Absent(check_word(key.trim())?.to_owned()));
    }
    if let Some((key, value)) = part.split_once("!=") {
        return Ok(Term::Differ(check_word(key.trim())?.to_owned(), check_word(value.trim())?.to_owned()));
    }
    if let Some((key, value)) = part.split_once('=') {
        return Ok(Term::Equal(check_word(key.trim())?.to_owned(), check_word(value.trim())?.to_owned()));
    }
    let Some((left, list)) = part.split_once('(') else {
        return Ok(Term::Present(check_word(part)?.to_owned()));
    };
    let list = list.strip_suffix(')').ok_or_else(|| format!("`{part}` lacks its closing `)`"))?;
    let values =
        list.split(',').map(|v| check_word(v.trim()).map(str::to_owned)).collect::<Result<Vec<_>, _>>()?;
    let words: Vec<_> = left.split_whitespace().collect();
    match words.as_slice() {
        [key, "in"] => Ok(Term::Within(check_word(key)?.to_owned(), values)),
        [key, "notin"] => Ok(Term::Outside(check_word(key)?.to_owned(), values)),
        _ => Err(format!("`{part}` is not `key in (a,b)` or `key notin (a,b)`")),
    }
}

fn split_outside_parentheses(text: &str) -> Result<Vec<&str>, String> {
    let (mut parts, mut depth, mut start) = (Vec::new(), 0_i32, 0);
    for (place, letter) in text.char_indices() {
        match letter {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&text[start..place]);
                start = place + 1;
            }
            _ => {}
        }
        if !(0..=1).contains(&depth) {
            return Err(format!("parentheses of `{text}` do not match"));
        }
    }
    parts.push(&text[start..]);
    Ok(parts)
}

fn check_word(word: &str) -> Result<&str, String> {
    let fits =
        |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.' | '/' | ':' | '@');
    if word.is_empty() || !word.chars().all(fits) {
        return Err(format!("`{word}` is not a word of letters, digits and `-_./:@`"));
    }
    Ok(word)
}
