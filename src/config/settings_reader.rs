//! Builds [`Settings`] from values whose dotted paths consist of the external names of the settings. Unknown
//! paths are ignored.

use super::error::SettingsError;
use super::key_values::KeyValues;
use crate::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// Reads the settings from the `path=value` lines that the simulator sends to an instance.
///
/// # Errors
/// Returns an error if a required setting is missing or a value is invalid.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    read_settings(&KeyValues::from_text(text))
}

/// Reads all settings. A setting that is missing and not required gets its default.
///
/// # Errors
/// Returns an error if a required setting is missing or a value is invalid.
pub(super) fn read_settings(values: &KeyValues<'_>) -> Result<Settings, SettingsError> {
    Ok(Settings {
        classes: read_classes(values)?,
        plans: read_plans(values)?,
        fleet_gateway_count: values.number("balancers", 1.0)?,
        max_units: values.number("family_info.max_units", 1.0)?,
        max_attempts: values.number("ceilings.max_attempts", 0.0)? as u32,
        hedging_allowed: values.flag("ceilings.parallel_tries"),
        cancellation_allowed: values.flag("ceilings.cancelling"),
        max_retry_after: values.number("ceilings.max_retry_after", 0.0)?,
        counter_enabled: values.flag("family_info.shared_counter"),
        counter_timeout: values.number("family_info.counter_timeout", 0.0)?,
        poll_endpoints: values.text("discovery") == Some("on_request"),
        slow_start_capacity: values.number("safety.start_capacity", 1.0)?,
        slow_start_window: values.number("safety.warm_after", 0.0)?,
    })
}

fn read_classes(values: &KeyValues<'_>) -> Result<Vec<Class>, SettingsError> {
    let count = values.count("classes.count")?;
    (0..count).map(|index| read_class(values, &format!("classes.{index}"))).collect()
}

fn read_class(values: &KeyValues<'_>, path: &str) -> Result<Class, SettingsError> {
    let deadline = values.required_number(&format!("{path}.deadline"))?;
    Ok(Class {
        idempotency: read_idempotency(values, path)?,
        latency_objective: values.number(&format!("{path}.goal_time"), deadline)?,
        deadline,
        late_value: values.number(&format!("{path}.late_value"), 0.0)?,
        priority_weight: values.number(&format!("{path}.importance"), 1.0)?,
    })
}

fn read_idempotency(values: &KeyValues<'_>, path: &str) -> Result<Idempotency, SettingsError> {
    let key = format!("{path}.idempotency");
    match values.text(&key) {
        Some("free") => Ok(Idempotency::Idempotent),
        Some("guarded") => Ok(Idempotency::IdempotencyKey {
            scope: read_deduplication_scope(values, path)?,
            window: values.number(&format!("{path}.repeat_window"), 0.0)?,
        }),
        Some("single_shot") => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::UnknownValue { key, value: other.map(str::to_owned) }),
    }
}

fn read_deduplication_scope(values: &KeyValues<'_>, path: &str) -> Result<DeduplicationScope, SettingsError> {
    let key = format!("{path}.group");
    match values.text(&key) {
        Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        other => Err(SettingsError::UnknownValue { key, value: other.map(str::to_owned) }),
    }
}

/// Reads the plans. If `plans.count` is missing, there are no plans.
fn read_plans(values: &KeyValues<'_>) -> Result<Vec<Plan>, SettingsError> {
    if values.text("plans.count").is_none() {
        return Ok(Vec::new());
    }
    let count = values.count("plans.count")?;
    (0..count).map(|index| read_plan(values, &format!("plans.{index}"))).collect()
}

fn read_plan(values: &KeyValues<'_>, path: &str) -> Result<Plan, SettingsError> {
    let number = |key: &str, default: f64| values.number(&format!("{path}.{key}"), default);
    Ok(Plan {
        rate: number("rate", 0.0)?,
        burst: number("store_size", 0.0)?,
        max_in_flight: number("max_out", 0.0)?,
        ceiling_rate: number("hard_rate", 0.0)?,
        ceiling_burst: number("cap_depth", 0.0)?,
        priority_multiplier: number("pays", 1.0)?,
    })
}
