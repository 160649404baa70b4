#ifndef HICKORYGAP_TESTS_CROWDS_PROCESS_USAGE_HPP
#define HICKORYGAP_TESTS_CROWDS_PROCESS_USAGE_HPP

#include <sys/types.h>

#include <cstddef>

namespace hickorygap::test
{

// Most memory that the process has had resident so far, in bytes; zero when it
// does not run.
std::size_t peak_memory_of(pid_t process);

// File descriptors that the process has open.
std::size_t open_descriptors_of(pid_t process);

// Sets the limit of open file descriptors that processes started from now on
// inherit, until it is destroyed.
class descriptor_limit
{
public:
    explicit descriptor_limit(std::size_t limit);
    ~descriptor_limit();
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    std::size_t previous_ = 0;
};

} // namespace hickorygap::test

#endif
