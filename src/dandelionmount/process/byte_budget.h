#ifndef DANDELIONMOUNT_PROCESS_BYTE_BUDGET_H
#define DANDELIONMOUNT_PROCESS_BYTE_BUDGET_H

#include <cstddef>
#include <memory>
#include <utility>

namespace dandelionmount {

/// Memory in bytes that exchanges may hold together.
struct byte_budget {
    std::size_t left;
};

/// What one exchange holds of a budget; given back at the end of the share's life.
class byte_reservation {
public:
    explicit byte_reservation(std::shared_ptr<byte_budget> budget) : budget_(std::move(budget)) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    byte_reservation(byte_reservation&&) = delete;
    byte_reservation& operator=(byte_reservation&&) = delete;
    ~byte_reservation() { budget_->left += held_; }

    /// Holds that many bytes in all from now on. False, with nothing changed, for more than half of what the
    /// other shares leave: so a few large shares don't keep small ones out.
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
