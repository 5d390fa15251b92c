//! The sections of prompts.

/// The maximum number of sections considered per prompt.
const MAX_SECTIONS: usize = 64;

/// A section of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSection {
    /// Identifies the content; requests with the same content have the same id.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

impl PromptSection {
    /// Parses a comma-separated list of `ID:TOKENS` with hexadecimal ids. Everything from the first malformed entry on
    /// is ignored, because a prefix cache could not serve the sections after it.
    pub fn parse_list(text: &str) -> Vec<PromptSection> {
        text.split(',').map_while(Self::parse).take(MAX_SECTIONS).collect()
    }

    fn parse(text: &str) -> Option<PromptSection> {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptSection { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    }
}
