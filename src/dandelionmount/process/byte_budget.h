#ifndef DANDELIONMOUNT_PROCESS_BYTE_BUDGET_H
#define DANDELIONMOUNT_PROCESS_BYTE_BUDGET_H

#include <cstddef>
#include <memory>
#include <utility>

namespace dandelionmount {

/// Memory, in bytes, that concurrent HTTP exchanges share; `left` is the part not reserved.
struct byte_budget {
    std::size_t left;
};

/// Bytes that one HTTP exchange reserves from a budget; released on destruction.
class byte_reservation {
public:
    explicit byte_reservation(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    byte_reservation(byte_reservation&&) = delete;
    byte_reservation& operator=(byte_reservation&&) = delete;
    ~byte_reservation() { budget_->left += held_; }

    /// Sets the reservation to `bytes` in total. Returns false and changes nothing if it would grow beyond
    /// half of what the other reservations leave, so that a few large ones don't starve small ones.
    [[nodiscard]] bool resize(std::size_t bytes) {
        const std::size_t available = budget_->left + held_;
        if (bytes > held_ && bytes > available / 2) {
            return false;
        }
        budget_->left = available - bytes;
        held_ = bytes;
        return true;
    }

private:
    std::shared_ptr<byte_budget> budget_;
    std::size_t held_{0};
};

} // namespace dandelionmount

#endif
