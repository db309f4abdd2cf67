//! Parses JSON and rejects objects with duplicate keys, since parsers differ in which of the duplicates they use.

use serde::de::{DeserializeSeed, Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// Maximum nesting of arrays and objects.
const MAX_DEPTH: usize = 100;

/// Parses a JSON text.
///
/// # Errors
/// If the text is not valid JSON, is nested more deeply than [`MAX_DEPTH`], or has an object with duplicate keys.
pub(super) fn parse(text: &str) -> Result<Value, serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let seed = StrictValue {
        remaining_depth: MAX_DEPTH,
    };
    let value = seed.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(value)
}

/// Deserializes a value that is nested no more deeply than `remaining_depth`.
struct StrictValue {
    remaining_depth: usize,
}

impl StrictValue {
    /// The seed for the items of an array or object, one level deeper.
    fn nested<E: serde::de::Error>(&self) -> Result<StrictValue, E> {
        match self.remaining_depth.checked_sub(1) {
            Some(remaining_depth) => Ok(StrictValue { remaining_depth }),
            None => Err(E::custom("nested too deep")),
        }
    }
}

impl<'de> DeserializeSeed<'de> for StrictValue {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictValue {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        Ok(number.into())
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(number.into())
    }

    fn visit_f64<E>(self, number: f64) -> Result<Value, E> {
        Ok(number.into())
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(text.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = array.next_element_seed(self.nested()?)? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            let value = entries.next_value_seed(self.nested()?)?;
            if object.insert(key.clone(), value).is_some() {
                return Err(A::Error::custom(format!("`{key}` is there twice")));
            }
        }
        Ok(Value::Object(object))
    }
}
