//! Errors in settings.

use snafu::Snafu;

/// A setting that a relay cannot use.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("settings.{key} {problem}"))]
pub struct InvalidSetting {
    /// The path of the key, such as `classes[0].name`.
    pub key: String,
    /// The problem with its value.
    pub problem: SettingProblem,
}

/// A problem with the value of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SettingProblem {
    /// It is zero.
    #[snafu(display("must be above 0"))]
    Zero,
    /// There are no topic types.
    #[snafu(display("is empty, so no notification could be taken on"))]
    NoTopicTypes,
    /// A factor is below 1 or not finite.
    #[snafu(display("must be 1 or more"))]
    BelowOne,
    /// A fraction is not above 0, or above 1.
    #[snafu(display("must be a share above 0, 1 at the most"))]
    NotPositiveFraction,
    /// A fraction is not within 0 and 1.
    #[snafu(display("must be a share from 0 to 1"))]
    NotFraction,
    /// A price is negative or not finite.
    #[snafu(display("must not be negative"))]
    Negative,
    /// The semantics of a topic type are unknown.
    #[snafu(display("is no effect that is known"))]
    UnknownSemantics,
    /// The deduplication scope of a topic type is unknown.
    #[snafu(display("is no group that is known"))]
    UnknownDeduplicationScope,
    /// The name of a topic type is empty or not unique.
    #[snafu(display("is empty or names another topic type"))]
    TopicTypeNameNotUnique,
    /// The name of a kind is not unique.
    #[snafu(display("names another kind"))]
    KindNotUnique,
}

/// The reason why settings cannot replace the current ones.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum IncompatibleSettings {
    /// A topic type that has pending notifications is missing.
    #[snafu(display("settings.classes lacks {name:?}, which has pending notifications"))]
    TopicTypeMissing {
        /// Its name.
        name: String,
    },
    /// A kind that has listed endpoints is missing.
    #[snafu(display("settings.kinds lacks {name:?}, which has listed endpoints"))]
    KindMissing {
        /// Its name.
        name: String,
    },
}
