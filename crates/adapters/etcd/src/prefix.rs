//! The part of etcd's key space that the shared state has.

/// The prefix of the keys of the shared state. All keys below it belong to this service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix(pub(crate) String);

impl Prefix {
    /// Parses a prefix, which must not be empty; it ends with a slash afterwards.
    pub fn new(text: &str) -> Option<Prefix> {
        let text = text.trim_end_matches('/');
        (!text.is_empty()).then(|| Prefix(format!("{text}/")))
    }

    pub(crate) fn key(&self, name: &str) -> Vec<u8> {
        format!("{}{name}", self.0).into_bytes()
    }

    /// The key of a number; the keys sort in numeric order.
    pub(crate) fn numbered_key(&self, table: &str, number: u64) -> Vec<u8> {
        self.key(&format!("{table}/{number:020}"))
    }
}

/// The first key after all that have this prefix.
pub(crate) fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.last_mut() {
        if *last < 0xff {
            *last += 1;
            return end;
        }
        end.pop();
    }
    // Up to the last key there is.
    vec![0]
}

#[cfg(test)]
mod tests;
