#include "admission/memory_budget.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : m_budget{other.m_budget}, m_bytes{std::exchange(other.m_bytes, 0)} {}

auto memory_reservation::operator=(memory_reservation&& other) noexcept -> memory_reservation& {
    if (this != &other) {
        release();
        m_budget = other.m_budget;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

auto memory_reservation::try_grow(std::size_t bytes) -> bool {
    if (m_budget == nullptr) {
        return true;
    }
    if (bytes > m_budget->m_limit - m_budget->m_in_use) {
        return false;
    }
    m_budget->m_in_use += bytes;
    m_bytes += bytes;
    return true;
}

auto memory_reservation::shrink(std::size_t bytes) -> void {
    const auto returned = std::min(bytes, m_bytes);
    if (m_budget != nullptr) {
        m_budget->m_in_use -= returned;
    }
    m_bytes -= returned;
}

auto reserve_capacity(std::string& text, std::size_t capacity, std::size_t uncounted,
                      memory_reservation& reservation) -> bool {
    if (capacity <= text.capacity()) {
        return true;
    }
    if (capacity > uncounted && !reservation.try_grow(capacity)) {
        return false;
    }
    const auto before = reservation.bytes() - std::min(reservation.bytes(), capacity);
    auto larger = std::string{}; // A present string would grow to at least twice its capacity.
    larger.reserve(capacity);
    larger = text;
    text = std::move(larger);
    reservation.shrink(before);
    return true;
}

} // namespace teaselcross
