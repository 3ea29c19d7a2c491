#pragma once

// Identifiers of the things an operator names. Each kind is a type of its own.

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace teaselcross {

/// A non-convertible name. Two identifiers with different tags never mix.
template <class Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value) : m_value{std::move(value)} {}

    /// The name as text. Safe to call from any thread.
    auto value() const -> const std::string& { return m_value; }
    auto empty() const -> bool { return m_value.empty(); }

    auto operator<=>(const identifier&) const = default;

private:
    std::string m_value;
};

template <class Tag>
auto operator<<(std::ostream& out, const identifier<Tag>& id) -> std::ostream& {
    return out << id.value();
}

using data_centre_id = identifier<struct data_centre_tag>;
/// One process of an instance: a restarted instance has another one.
using instance_id = identifier<struct instance_tag>;
using service_id = identifier<struct service_tag>;
using target_id = identifier<struct target_tag>;

} // namespace teaselcross

template <class Tag>
struct std::hash<teaselcross::identifier<Tag>> {
    auto operator()(const teaselcross::identifier<Tag>& id) const noexcept -> std::size_t {
        return std::hash<std::string>{}(id.value());
    }
};
