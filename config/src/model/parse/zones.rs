//! The key `places`: the zones with their regions and labels.

use crate::endpoint_list::read_labels;
use crate::json_reader::{JsonReader, ObjectReader};
use crate::model::Zone;
use jzon::JsonValue;

const MAX_ZONES: usize = 256;

pub(super) fn read_zones(document: &mut ObjectReader<'_, '_>) -> Vec<Zone> {
    let mut zones: Vec<Zone> = Vec::new();
    for (index, entry) in document.array("places", MAX_ZONES).iter().enumerate() {
        let path = format!("$.places[{index}]");
        let Some(zone) = read_zone(document.reader, &path, entry, &zones) else { continue };
        zones.push(zone);
    }
    zones
}

fn read_zone(
    reader: &mut JsonReader,
    path: &str,
    entry: &JsonValue,
    earlier: &[Zone],
) -> Option<Zone> {
    let known_keys = ["zone", "region", "labels"];
    let mut object = ObjectReader::of_value(reader, path, entry, &known_keys)?;
    let name = object.name("zone");
    let region = object.name("region");
    let (labels_path, labels) = (object.path_of("labels"), object.get("labels"));
    let labels = read_labels(object.reader, &labels_path, labels);
    let (name, region) = (name?, region?);
    if earlier.iter().any(|zone| zone.name == name) {
        object.reject("zone", format!("'{name}' is named twice"));
    }
    Some(Zone { name, region, labels })
}
