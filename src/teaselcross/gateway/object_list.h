#pragma once

// Reads the list of all objects of one kind, page by page.

#include "gateway/store_access.h"
#include "replication/object_replica.h"

#include <string>
#include <vector>

namespace teaselcross {

/// How the reading of a list ended.
enum class list_end {
    complete,   ///< All pages were read.
    incomplete, ///< The store says that there is more, and the list cannot be continued.
    failed,     ///< The store could not be read, or began a new era meanwhile.
};

struct object_list {
    /// In the order of the store, without removed objects. Empty if the list failed.
    std::vector<object_page> pages;
    list_end end = list_end::failed;
};

/// Reads all objects of @a kind; @a allow_stale accepts data that is seconds old. Objects whose name cannot
/// be read are left out. A list that cannot be continued is logged with the reason. The number of calls is
/// bounded. @a store must outlive the call, which runs on its event loop.
auto read_object_list(store_access& store, std::string kind, bool allow_stale)
    -> boost::asio::awaitable<object_list>;

} // namespace teaselcross
