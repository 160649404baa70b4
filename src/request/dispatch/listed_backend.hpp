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

// One entry of the list of backend servers.
struct listed_backend
{
    // Names one start of a backend server; its address may serve another one
    // later.
    std::string id;
    std::string service;
    std::string failure_domain;
    numeric_address address;

    // Requests that it processes at the same time.
    std::uint32_t slots = 0;

    // It is about to stop and gets no new requests.
    bool leaving = false;

    friend bool
    operator==(const listed_backend&, const listed_backend&) = default;
};

// One page of the list.
struct backend_list_page
{
    std::vector<listed_backend> backends;

    // Entries that could not be read and were left out.
    std::size_t unreadable = 0;

    // Names the following page; empty on the last one.
    std::string next_page;
};

// Reads the list that the platform maintains.
class backend_list_format
{
public:
    backend_list_format() = default;
    backend_list_format(const backend_list_format&) = delete;
    backend_list_format& operator=(const backend_list_format&) = delete;
    virtual ~backend_list_format() = default;

    // Path and query of the call that reads a page; page is empty for the
    // first one.
    virtual std::string page_target(std::string_view page) const = 0;

    // Error: invalid_request, when the page as a whole can't be read.
    virtual absl::StatusOr<backend_list_page>
    decode_page(std::string_view text) const = 0;
};

} // namespace hickorygap

#endif
