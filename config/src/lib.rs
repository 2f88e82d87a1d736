//! The setup model: reading, checking and selecting (design 3).

pub mod endpoint_list;
pub mod execution_status;
pub mod json_reader;
pub mod load_report;
pub mod model;
pub mod rule_index;
pub mod selector;
pub mod settings;
pub mod wire_format;

pub use execution_status::ExecutionStatus;
pub use json_reader::ValidationError;

/// A stable 64-bit hash for rendezvous ranks and sticky buckets (design 5.2, 7.3). The same on
/// every machine and in every version, which the standard library does not promise of its own.
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

/// SHA-256 of the parts, each preceded by its length.
pub fn digest(parts: &[&[u8]]) -> [u8; 32] {
    use sha2::Digest;
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
