#ifndef HICKORYGAP_REQUEST_DISPATCH_LISTED_BACKEND_HPP
#define HICKORYGAP_REQUEST_DISPATCH_LISTED_BACKEND_HPP

#include "common/address.hpp"
#include "common/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// One entry of the backend list.
struct listed_backend
{
    // Identifies a backend server. Another one may use its address later, and
    // the server may start again under its identifier.
    std::string id;
    std::string service;
    std::string failure_domain;
    numeric_address address;

    // Requests that it processes at the same time.
    std::uint32_t slots = 0;

    // The server is shutting down and gets no new requests.
    bool leaving = false;

    // Version of its software.
    std::string version = {};

    // The server has started lately, and fails if it gets requests at more than
    // the rate of its service for cold servers.
    bool cold = false;

    // Operators have evacuated its failure domain; set together with leaving.
    bool evacuated = false;

    friend bool
    operator==(const listed_backend&, const listed_backend&) = default;
};

// One page of the backend list.
struct backend_list_page
{
    std::vector<listed_backend> backends;

    // Entries that were skipped because they could not be decoded.
    std::size_t unreadable = 0;

    // Token of the next page; empty on the last one.
    std::string next_page;
};

// Format of the backend list that the platform maintains.
class backend_list_format
{
public:
    backend_list_format() = default;
    backend_list_format(const backend_list_format&) = delete;
    backend_list_format& operator=(const backend_list_format&) = delete;
    virtual ~backend_list_format() = default;

    // Path and query of the request for a page; `page` is empty for the first
    // one.
    virtual std::string page_target(std::string_view page) const = 0;

    // Error: invalid_request, when the page as a whole can't be decoded.
    virtual absl::StatusOr<backend_list_page>
    decode_page(std::string_view text) const = 0;
};

} // namespace hickorygap

#endif
