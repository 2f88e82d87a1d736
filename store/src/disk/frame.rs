//! The frame of a file: its body with the body's digest, so that a damaged file is recognized. The field
//! names are serialized.

use vanepath_cluster::wire;

#[derive(serde::Serialize, serde::Deserialize)]
struct Framed {
    #[serde(with = "serde_bytes")]
    digest: Vec<u8>,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

fn digest(body: &[u8]) -> [u8; 32] {
    vanepath_config::digest(&[b"vanepath file", body])
}

/// The file's bytes for this body.
pub(super) fn frame(body: &[u8]) -> Vec<u8> {
    wire::encode(&Framed { digest: digest(body).to_vec(), body: body.to_vec() })
}

/// The body of a file, if it is intact.
pub(super) fn unframe(bytes: &[u8]) -> Option<Vec<u8>> {
    let framed: Framed = wire::decode(bytes).ok()?;
    (framed.digest == digest(&framed.body)).then_some(framed.body)
}
