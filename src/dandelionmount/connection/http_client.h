#ifndef DANDELIONMOUNT_CONNECTION_HTTP_CLIENT_H
#define DANDELIONMOUNT_CONNECTION_HTTP_CLIENT_H

#include "dandelionmount/connection/http_headers.h"
#include "dandelionmount/process/clock.h"
#include "dandelionmount/process/result.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace dandelionmount {

/// Sends one request on a connection of its own to "IP:PORT" and reads the whole answer within the limit.
/// Fails with the step that went wrong; the request may then have been taken nevertheless.
boost::asio::awaitable<result<http_response>> http_exchange(std::string address, http_request request,
                                                            duration limit, std::size_t most_answer_bytes);

} // namespace dandelionmount

#endif
