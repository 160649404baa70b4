#ifndef HICKORYGAP_REQUEST_OVERLOAD_WORK_ESTIMATOR_HPP
#define HICKORYGAP_REQUEST_OVERLOAD_WORK_ESTIMATOR_HPP

#include "common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hickorygap
{

// What a request says about its size. Callers are not trusted: any numbers may
// arrive.
struct request_size
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
};

// Learns how long requests of a service take in a slot of an engine, by their
// size, from those that were answered. Pure.
class work_estimator
{
public:
    // Expected time; zero before anything was learnt.
    duration estimate(const request_size& size) const;

    // Expected time of the mean request.
    duration mean() const;

    // A request was answered this long after it had been sent.
    void on_answered(const request_size& size, duration took);

    // Moving average of the estimates' error, as a share of the time taken.
    double error_share() const
    {
        return error_share_;
    }

private:
    // Sizes are grouped by powers of two of the tokens to read and to write.
    static constexpr std::size_t size_classes = 20;

    struct group
    {
        // Moving average; zero before the first sample.
        double seconds = 0;
        std::uint32_t samples = 0;
    };

    static std::size_t class_of(std::uint32_t tokens);
    double expected_seconds(const request_size& size) const;

    std::array<std::array<group, size_classes>, size_classes> groups_{};
    double mean_seconds_ = 0;

    // Mean of the tokens by which unknown groups are compared with the mean
    // request.
    double mean_tokens_ = 0;
    double error_share_ = 0;
};

} // namespace hickorygap

#endif
