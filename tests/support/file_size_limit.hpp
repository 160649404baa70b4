#ifndef HICKORYGAP_TESTS_SUPPORT_FILE_SIZE_LIMIT_HPP
#define HICKORYGAP_TESTS_SUPPORT_FILE_SIZE_LIMIT_HPP

#include <sys/resource.h>

#include <csignal>

namespace hickorygap::test
{

// Keeps files from growing beyond the limit during its lifetime, which makes
// writes fail as on a full disk.
class file_size_limit
{
public:
    explicit file_size_limit(rlim_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &before_);
        rlimit limit = before_;
        limit.rlim_cur = bytes;
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    file_size_limit(const file_size_limit&) = delete;
    file_size_limit& operator=(const file_size_limit&) = delete;
    ~file_size_limit()
    {
        ::setrlimit(RLIMIT_FSIZE, &before_);
    }

private:
    rlimit before_{};
};

} // namespace hickorygap::test

#endif
