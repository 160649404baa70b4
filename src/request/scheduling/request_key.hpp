#ifndef HICKORYGAP_REQUEST_SCHEDULING_REQUEST_KEY_HPP
#define HICKORYGAP_REQUEST_SCHEDULING_REQUEST_KEY_HPP

#include "common/hashing.hpp"
#include "common/ids.hpp"

#include <cstddef>
#include <cstdint>

namespace hickorygap
{

// Identifies one attempt of one caller request.
struct request_key
{
    request_id request = 0;
    std::uint8_t attempt = 1;

    friend bool operator==(const request_key&, const request_key&) = default;
};

struct request_key_hash
{
    std::size_t operator()(const request_key& key) const
    {
        return rendezvous_score(key.request, key.attempt);
    }
};

} // namespace hickorygap

#endif
