//! Hashes that are the same on every machine and in every version.

use sha2::{Digest, Sha256};

/// A stable 64-bit hash for rendezvous hashing and sticky buckets (design 5.2, 7.3); the standard library's
/// hasher does not guarantee stable values. It is FNV-1a with another offset basis over the parts, each
/// terminated by a byte that never occurs in UTF-8, followed by the finalizer of SplitMix64.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut state: u64 = 0x9e37_79b9_7f4a_7c15;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    state ^= state >> 30;
    state = state.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state ^= state >> 27;
    state = state.wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// SHA-256 of the parts, each preceded by its length as a big-endian `u64`.
pub fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
