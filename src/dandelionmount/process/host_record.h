#ifndef DANDELIONMOUNT_PROCESS_HOST_RECORD_H
#define DANDELIONMOUNT_PROCESS_HOST_RECORD_H

#include "dandelionmount/wire/peer.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace dandelionmount {

/// Serialises a host's record for the store.
[[nodiscard]] std::string write_host_record(const wire::member_record& record);
/// Parses the stored record of the host with that name; empty when it is malformed.
[[nodiscard]] std::optional<wire::member_record> read_host_record(std::string_view host,
                                                                  std::string_view text);

} // namespace dandelionmount

#endif
