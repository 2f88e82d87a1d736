//! File framing: a file holds a body and the body's digest, by which a damaged file is recognized. The field
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

/// Encodes a body as the contents of a file.
pub(super) fn frame(body: &[u8]) -> Vec<u8> {
    wire::encode(&Framed { digest: digest(body).to_vec(), body: body.to_vec() })
}

/// Decodes the contents of a file; `None` if they are damaged.
pub(super) fn unframe(bytes: &[u8]) -> Option<Vec<u8>> {
    let framed: Framed = wire::decode(bytes).ok()?;
    (framed.digest == digest(&framed.body)).then_some(framed.body)
}
