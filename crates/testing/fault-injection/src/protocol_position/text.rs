//! A string in a stream, wherever the reads cut it.

/// Finds a pattern byte by byte (Knuth, Morris, Pratt 1977): what was read before is never looked at again, so a match
/// may lie across any number of reads.
#[derive(Clone, Debug)]
pub struct Text {
    pattern: Vec<u8>,
    /// For each length of a partial match: the longest shorter one that ends in the same bytes.
    fallback: Vec<usize>,
    matched: usize,
}

impl Text {
    /// Looks for this pattern, which must not be empty.
    pub fn new(pattern: &[u8]) -> Self {
        let mut fallback = vec![0; pattern.len() + 1];
        let mut k = 0;
        for i in 1..pattern.len() {
            while k > 0 && pattern[i] != pattern[k] {
                k = fallback[k];
            }
            if pattern[i] == pattern[k] {
                k += 1;
            }
            fallback[i + 1] = k;
        }
        Text { pattern: pattern.to_vec(), fallback, matched: 0 }
    }

    /// Takes the next byte; true where it ends a match. Matches may overlap.
    pub fn take(&mut self, byte: u8) -> bool {
        if self.matched == self.pattern.len() {
            self.matched = self.fallback[self.matched];
        }
        while self.matched > 0 && self.pattern[self.matched] != byte {
            self.matched = self.fallback[self.matched];
        }
        if self.pattern[self.matched] == byte {
            self.matched += 1;
        }
        self.matched == self.pattern.len()
    }

    /// Length of what may yet become a match.
    pub fn partial(&self) -> usize {
        if self.matched == self.pattern.len() {
            self.fallback[self.matched]
        } else {
            self.matched
        }
    }

    /// Length of the pattern.
    pub fn len(&self) -> usize {
        self.pattern.len()
    }
}
