#pragma once

// Messages that carry shared load reports between instances, as JSON.

#include "admission/load_exchange.h"

#include <optional>

namespace teaselcross {

/// What an instance sends to the exchange.
struct load_message {
    std::string instance;
    std::vector<shared_report> reports;
};

/// Encodes @a message; its times become ages at @a now. Thread safe.
auto encode_load_message(const load_message& message, instant now) -> std::string;

/// Decodes a message whose ages are those at @a sent_at. Reports that are out of range are left out. Returns
/// nothing if it is no message. Thread safe.
auto decode_load_message(const std::string& text, instant sent_at) -> std::optional<load_message>;

} // namespace teaselcross
