#pragma once

// JSON form of the messages by which instances and the controller move units of quotas.

#include "quota/quota_messages.h"

#include <optional>

namespace teaselcross {

/// Path of queries to the controller on the internal port.
constexpr auto quota_path = "/controller/quota";

// Encoders return JSON. Decoders return nothing when the text is not such a message. All are thread safe.
auto encode(const quota_query& query) -> std::string;
auto encode(const quota_reply& reply) -> std::string;
auto decode_quota_query(const std::string& text) -> std::optional<quota_query>;
auto decode_quota_reply(const std::string& text) -> std::optional<quota_reply>;

} // namespace teaselcross
