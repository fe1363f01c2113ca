//! The check of a file's content against its table.
//!
//! It goes on after a fault, so that one run reports them all, and fills in defaults.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use onyxshed_core::HostName;
use serde_json::Map;
use smol_str::{SmolStr, format_smolstr};

use crate::address::{self, Given};
use crate::error::Fault;
use crate::field::{Fallback, Field, Kind, Role};
use crate::place::Place;
use crate::suggest;

/// Longest excerpt of the file repeated in a fault, in characters.
const EXCERPT_CHARS: usize = 40;

/// A check under way.
pub(crate) struct Checker<'t> {
    text: &'t str,
    faults: Vec<Fault>,
    given: Vec<Given>,
    places: BTreeMap<SmolStr, (Place, SmolStr)>,
}

impl<'t> Checker<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Checker {
            text,
            faults: Vec::new(),
            given: Vec::new(),
            places: BTreeMap::new(),
        }
    }

    /// Ends the check with every fault found.
    pub(crate) fn into_faults(mut self) -> Vec<Fault> {
        self.faults.extend(address::duplicates(&self.given));
        self.faults
    }

    /// Adds a fault that concerns a whole field, at the field's place if the file has it.
    pub(crate) fn fault_at_field(&mut self, field: &'static str, allowed: SmolStr) {
        let whole_file = (
            Place { line: 1, column: 1 },
            SmolStr::new_static("the default"),
        );
        let (place, found) = self.places.get(field).cloned().unwrap_or(whole_file);
        self.faults.push(Fault {
            place,
            path: SmolStr::new_static(field),
            found,
            allowed,
        });
    }

    /// Checks a whole file.
    pub(crate) fn file(
        &mut self,
        value: Option<&Value<'_>>,
        fields: &[Field],
    ) -> Map<String, Json> {
        match value {
            Some(Value::Object(object)) => self.section("", object, fields),
            Some(other) => {
                self.wrong(other, "", SmolStr::new_static("one object"));
                Map::new()
            }
            None => {
                self.faults.push(Fault {
                    place: Place { line: 1, column: 1 },
                    path: SmolStr::default(),
                    found: SmolStr::new_static("nothing"),
                    allowed: SmolStr::new_static("one object"),
                });
                Map::new()
            }
        }
    }

    fn section(&mut self, path: &str, object: &Object<'_>, fields: &[Field]) -> Map<String, Json> {
        self.check_names(path, object, fields);
        let mut filled = Map::new();
        for field in fields {
            let path = join(path, field.name);
            let value = match object.get(field.name) {
                Some(property) => self.field(&path, &property.value, field),
                None => self.left_out(&path, object, field),
            };
            if let Some(value) = value {
                filled.insert(field.name.to_owned(), value);
            }
        }
        filled
    }

    /// Reports names that are unknown or there twice.
    fn check_names(&mut self, path: &str, object: &Object<'_>, fields: &[Field]) {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let is_known = fields.iter().any(|field| field.name == name);
            if !is_known {
                self.fault_at_name(path, property, "an unknown field", known(name, fields));
            } else if !seen.insert(name) {
                let once = SmolStr::new_static("each field once");
                self.fault_at_name(path, property, "the field a second time", once);
            }
        }
    }

    fn field(&mut self, path: &str, value: &Value<'_>, field: &Field) -> Option<Json> {
        let place = (self.place(value), self.excerpt(value));
        self.places.insert(path.into(), place);
        match (field.kind, value) {
            (Kind::Section(fields), Value::Object(object)) => {
                Some(Json::Object(self.section(path, object, fields)))
            }
            (Kind::Sections(fields), Value::Array(array)) => {
                Some(Json::Array(self.sections(path, array, fields)))
            }
            (Kind::Addresses(role), Value::Array(array)) => {
                Some(Json::Array(self.addresses(path, array, role)))
            }
            (Kind::Address(role), value) => self.address(path, value, role),
            (kind, value) => self.scalar(path, value, kind),
        }
    }

    fn left_out(&mut self, path: &str, object: &Object<'_>, field: &Field) -> Option<Json> {
        match (field.fallback, field.kind) {
            (Fallback::Required, kind) => {
                self.faults.push(Fault {
                    place: Place::of_byte(self.text, object.start()),
                    path: path.into(),
                    found: SmolStr::new_static("nothing"),
                    allowed: kind.allowed(),
                });
                None
            }
            (Fallback::Absent, _) => Some(Json::Null),
            (Fallback::Number(number), _) => Some(Json::from(number)),
            (Fallback::Word(word), _) => Some(Json::from(word)),
            (Fallback::Empty, Kind::Section(fields)) => {
                let empty = Object {
                    range: object.range,
                    properties: Vec::new(),
                };
                Some(Json::Object(self.section(path, &empty, fields)))
            }
            (Fallback::Empty, _) => Some(Json::Array(Vec::new())),
        }
    }

    fn sections(&mut self, path: &str, array: &Array<'_>, fields: &[Field]) -> Vec<Json> {
        let mut filled = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match element {
                Value::Object(object) => {
                    filled.push(Json::Object(self.section(&path, object, fields)));
                }
                other => self.wrong(other, &path, SmolStr::new_static("an object")),
            }
        }
        filled
    }

    fn addresses(&mut self, path: &str, array: &Array<'_>, role: Role) -> Vec<Json> {
        let mut filled = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            filled.extend(self.address(&path, element, role));
        }
        filled
    }

    fn address(&mut self, path: &str, value: &Value<'_>, role: Role) -> Option<Json> {
        let text = value.as_string_lit().map(|text| text.value.as_ref());
        let Some(address) = text.and_then(|text| address::parse(text, role)) else {
            self.wrong(value, path, Kind::Address(role).allowed());
            return None;
        };
        self.given.push(Given {
            place: self.place(value),
            path: path.into(),
            address,
            role,
        });
        Some(Json::from(address.to_string()))
    }

    fn scalar(&mut self, path: &str, value: &Value<'_>, kind: Kind) -> Option<Json> {
        let json = match (kind, value) {
            (Kind::Name, Value::StringLit(text)) => {
                let is_name = text.value.parse::<HostName>().is_ok();
                is_name.then(|| Json::from(text.value.as_ref()))
            }
            (Kind::Choice(words), Value::StringLit(text)) => {
                let mut words = words.iter().copied();
                words.find(|word| *word == text.value).map(Json::from)
            }
            (Kind::Number { min, max, .. }, Value::NumberLit(number)) => {
                let number = number.value.parse::<u64>().ok();
                let in_range = number.filter(|number| (min..=max).contains(number));
                in_range.map(Json::from)
            }
            _ => None,
        };
        if json.is_none() {
            self.wrong(value, path, kind.allowed());
        }
        json
    }

    fn wrong(&mut self, value: &Value<'_>, path: &str, allowed: SmolStr) {
        self.faults.push(Fault {
            place: self.place(value),
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
            place: Place::of_byte(self.text, property.start()),
            path: join(path, &cut(property.name.as_str())),
            found: SmolStr::new_static(found),
            allowed,
        });
    }

    fn place(&self, value: &Value<'_>) -> Place {
        Place::of_byte(self.text, value.start())
    }

    fn excerpt(&self, value: &Value<'_>) -> SmolStr {
        match value {
            Value::Object(_) => SmolStr::new_static("an object"),
            Value::Array(_) => SmolStr::new_static("a list"),
            other => cut(other.text(self.text)),
        }
    }
}

type Json = serde_json::Value;

/// Joins a section's path and a field's name.
fn join(path: &str, name: &str) -> SmolStr {
    match path {
        "" => name.into(),
        path => format_smolstr!("{path}.{name}"),
    }
}

/// Cuts a text to what a fault may repeat.
fn cut(text: &str) -> SmolStr {
    let mut short: String = text.chars().take(EXCERPT_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short.replace(char::is_control, " ").into()
}

/// Says which fields there are, or which one was probably meant.
fn known(found: &str, fields: &[Field]) -> SmolStr {
    match suggest::nearest(found, fields) {
        Some(name) => format_smolstr!("did you mean {name}?"),
        None => {
            let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
            names.join(", ").into()
        }
    }
}
