//! SHA-256 digests in lowercase hexadecimal.

use sha2::Digest;
use sha2::Sha256;

/// A digest in lowercase hexadecimal.
pub type Hex = String;

/// The length of a digest, in characters.
pub const HEX_LENGTH: usize = 64;

/// Returns the SHA-256 digest of `bytes`.
///
/// # Examples
///
/// ```
/// let hex = landingvalve::util::digest::of(b"token");
/// assert_eq!(hex.len(), landingvalve::util::digest::HEX_LENGTH);
/// ```
pub fn of(bytes: &[u8]) -> Hex {
    Sha256::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Returns whether `text` has the form of a digest.
pub fn is_valid(text: &str) -> bool {
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    text.len() == HEX_LENGTH && text.chars().all(hex)
}

/// Compares two digests in constant time, so that the time does not reveal
/// where they differ.
pub fn equal(left: &str, right: &str) -> bool {
    let differs = left
        .bytes()
        .zip(right.bytes())
        .fold(0, |differs, (a, b)| differs | (a ^ b));
    left.len() == right.len() && differs == 0
}
