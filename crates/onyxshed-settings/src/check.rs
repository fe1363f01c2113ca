//! Checks the content of a settings file against its table of fields.
//!
//! The check continues after a fault, so that one run reports all faults, and fills in defaults.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use onyxshed_core::HostName;
use serde_json::Map;
use smol_str::{SmolStr, format_smolstr};

use crate::address::{self, ConfiguredAddress};
use crate::error::Fault;
use crate::field::{Fallback, Field, FieldKind, Role};
use crate::position::Position;
use crate::suggest;

/// Longest excerpt of the file that a fault repeats, in characters.
const EXCERPT_CHARS: usize = 40;

/// State of a check: the faults found, the addresses given, and the position and the text of each
/// field that is present.
pub(crate) struct Checker<'t> {
    text: &'t str,
    faults: Vec<Fault>,
    configured_addresses: Vec<ConfiguredAddress>,
    positions: BTreeMap<SmolStr, (Position, SmolStr)>,
}

impl<'t> Checker<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Checker {
            text,
            faults: Vec::new(),
            configured_addresses: Vec::new(),
            positions: BTreeMap::new(),
        }
    }

    /// Checks the addresses against each other and returns every fault found.
    pub(crate) fn into_faults(mut self) -> Vec<Fault> {
        self.faults
            .extend(address::duplicates(&self.configured_addresses));
        self.faults
    }

    /// Adds a fault about the value of a field. Its position is that of the field, or the start of
    /// the file if the field is absent.
    pub(crate) fn fault_at_field(&mut self, field: &'static str, allowed: SmolStr) {
        let whole_file = (
            Position { line: 1, column: 1 },
            SmolStr::new_static("the default"),
        );
        let (position, found) = self.positions.get(field).cloned().unwrap_or(whole_file);
        self.faults.push(Fault {
            position,
            path: SmolStr::new_static(field),
            found,
            allowed,
        });
    }

    /// Checks a whole file. Returns its fields with defaults filled in, without those with faults.
    pub(crate) fn check_file(
        &mut self,
        value: Option<&Value<'_>>,
        fields: &[Field],
    ) -> Map<String, Json> {
        match value {
            Some(Value::Object(object)) => self.check_section("", object, fields),
            Some(other) => {
                self.push_fault(other, "", SmolStr::new_static("one object"));
                Map::new()
            }
            None => {
                self.faults.push(Fault {
                    position: Position { line: 1, column: 1 },
                    path: SmolStr::default(),
                    found: SmolStr::new_static("nothing"),
                    allowed: SmolStr::new_static("one object"),
                });
                Map::new()
            }
        }
    }

    fn check_section(
        &mut self,
        path: &str,
        object: &Object<'_>,
        fields: &[Field],
    ) -> Map<String, Json> {
        self.check_names(path, object, fields);
        let mut values = Map::new();
        for field in fields {
            let path = join(path, field.name);
            let value = match object.get(field.name) {
                Some(property) => self.check_field(&path, &property.value, field),
                None => self.default_value(&path, object, field),
            };
            if let Some(value) = value {
                values.insert(field.name.to_owned(), value);
            }
        }
        values
    }

    /// Reports unknown and duplicate field names.
    fn check_names(&mut self, path: &str, object: &Object<'_>, fields: &[Field]) {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let is_known = fields.iter().any(|field| field.name == name);
            if !is_known {
                self.fault_at_name(
                    path,
                    property,
                    "an unknown field",
                    expected_names(name, fields),
                );
            } else if !seen.insert(name) {
                let allowed = SmolStr::new_static("each field once");
                self.fault_at_name(path, property, "a duplicate field", allowed);
            }
        }
    }

    fn check_field(&mut self, path: &str, value: &Value<'_>, field: &Field) -> Option<Json> {
        let position = (self.position(value), self.excerpt(value));
        self.positions.insert(path.into(), position);
        match (field.kind, value) {
            (FieldKind::Section(fields), Value::Object(object)) => {
                Some(Json::Object(self.check_section(path, object, fields)))
            }
            (FieldKind::Sections(fields), Value::Array(array)) => {
                Some(Json::Array(self.check_sections(path, array, fields)))
            }
            (FieldKind::Addresses(role), Value::Array(array)) => {
                Some(Json::Array(self.check_addresses(path, array, role)))
            }
            (FieldKind::Address(role), value) => self.check_address(path, value, role),
            (kind, value) => self.check_scalar(path, value, kind),
        }
    }

    fn default_value(&mut self, path: &str, object: &Object<'_>, field: &Field) -> Option<Json> {
        match (field.fallback, field.kind) {
            (Fallback::Required, kind) => {
                self.faults.push(Fault {
                    position: Position::of_byte(self.text, object.start()),
                    path: path.into(),
                    found: SmolStr::new_static("nothing"),
                    allowed: kind.allowed(),
                });
                None
            }
            (Fallback::Absent, _) => Some(Json::Null),
            (Fallback::Number(number), _) => Some(Json::from(number)),
            (Fallback::Word(word), _) => Some(Json::from(word)),
            (Fallback::Empty, FieldKind::Section(fields)) => {
                let empty = Object {
                    range: object.range,
                    properties: Vec::new(),
                };
                Some(Json::Object(self.check_section(path, &empty, fields)))
            }
            (Fallback::Empty, _) => Some(Json::Array(Vec::new())),
        }
    }

    fn check_sections(&mut self, path: &str, array: &Array<'_>, fields: &[Field]) -> Vec<Json> {
        let mut values = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match element {
                Value::Object(object) => {
                    values.push(Json::Object(self.check_section(&path, object, fields)));
                }
                other => self.push_fault(other, &path, SmolStr::new_static("an object")),
            }
        }
        values
    }

    fn check_addresses(&mut self, path: &str, array: &Array<'_>, role: Role) -> Vec<Json> {
        let mut values = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            values.extend(self.check_address(&path, element, role));
        }
        values
    }

    fn check_address(&mut self, path: &str, value: &Value<'_>, role: Role) -> Option<Json> {
        let text = value.as_string_lit().map(|text| text.value.as_ref());
        let Some(address) = text.and_then(|text| address::parse(text, role)) else {
            self.push_fault(value, path, FieldKind::Address(role).allowed());
            return None;
        };
        self.configured_addresses.push(ConfiguredAddress {
            position: self.position(value),
            path: path.into(),
            address,
            role,
        });
        Some(Json::from(address.to_string()))
    }

    fn check_scalar(&mut self, path: &str, value: &Value<'_>, kind: FieldKind) -> Option<Json> {
        let json = match (kind, value) {
            (FieldKind::Name, Value::StringLit(text)) => {
                let is_name = text.value.parse::<HostName>().is_ok();
                is_name.then(|| Json::from(text.value.as_ref()))
            }
            (FieldKind::Choice(words), Value::StringLit(text)) => {
                let mut words = words.iter().copied();
                words.find(|word| *word == text.value).map(Json::from)
            }
            (FieldKind::Number { min, max, .. }, Value::NumberLit(number)) => {
                let number = number.value.parse::<u64>().ok();
                let in_range = number.filter(|number| (min..=max).contains(number));
                in_range.map(Json::from)
            }
            _ => None,
        };
        if json.is_none() {
            self.push_fault(value, path, kind.allowed());
        }
        json
    }

    fn push_fault(&mut self, value: &Value<'_>, path: &str, allowed: SmolStr) {
        self.faults.push(Fault {
            position: self.position(value),
            path: path.into(),
            found: self.excerpt(value),
            allowed,
        });
    }

    fn fault_at_name(
        &mut self,
        path: &str,
        property: &ObjectProp<'_>,
        found: &'static str,
        allowed: SmolStr,
    ) {
        self.faults.push(Fault {
            position: Position::of_byte(self.text, property.start()),
            path: join(path, &truncate(property.name.as_str())),
            found: SmolStr::new_static(found),
            allowed,
        });
    }

    fn position(&self, value: &Value<'_>) -> Position {
        Position::of_byte(self.text, value.start())
    }

    fn excerpt(&self, value: &Value<'_>) -> SmolStr {
        match value {
            Value::Object(_) => SmolStr::new_static("an object"),
            Value::Array(_) => SmolStr::new_static("a list"),
            other => truncate(other.text(self.text)),
        }
    }
}

type Json = serde_json::Value;

/// Joins the path of a section and the name of a field.
fn join(path: &str, name: &str) -> SmolStr {
    match path {
        "" => name.into(),
        path => format_smolstr!("{path}.{name}"),
    }
}

/// Truncates a text to [`EXCERPT_CHARS`] and replaces control characters by spaces.
fn truncate(text: &str) -> SmolStr {
    let mut short: String = text.chars().take(EXCERPT_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short.replace(char::is_control, " ").into()
}

/// Returns the most similar field name, or all field names if none is similar.
fn expected_names(found: &str, fields: &[Field]) -> SmolStr {
    match suggest::nearest(found, fields) {
        Some(name) => format_smolstr!("did you mean {name}?"),
        None => {
            let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
            names.join(", ").into()
        }
    }
}
