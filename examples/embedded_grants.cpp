// How a server that owns keys embeds the target's side of fenced grants: twenty lines, no I/O.

#include "ownership/grant.h"

#include <iostream>

using namespace teaselcross;

auto main() -> int {
    auto now = instant{std::chrono::seconds{100}}; // From the server's monotonic clock.
    auto holder = grant_holder{42};                // Drawn anew at each start.

    // The keeper greets, and learns the incarnation and a nonce.
    const auto greeting = holder.handle_request({.epoch = 1}, now);

    // It grants shard 7 for a second; the term counts from when the nonce was drawn.
    const auto term = std::chrono::seconds{1};
    const auto shards = std::vector<granted_shard>{{.shard = shard_id{7}, .fence = 3}};
    static_cast<void>(holder.handle_request({1, greeting.incarnation, greeting.nonce, term, shards}, now));

    // Before each use of a key's state:
    std::cout << "owned at once: " << holder.owns(shard_id{7}, 3, now) << "\n";
    std::cout << "owned under another fence: " << holder.owns(shard_id{7}, 2, now) << "\n";
    now += std::chrono::seconds{2};
    std::cout << "owned after the term: " << holder.owns(shard_id{7}, 3, now) << "\n";
}
