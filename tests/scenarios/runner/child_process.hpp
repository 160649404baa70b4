#ifndef HICKORYGAP_TESTS_SCENARIOS_RUNNER_CHILD_PROCESS_HPP
#define HICKORYGAP_TESTS_SCENARIOS_RUNNER_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace hickorygap::testing
{

// Child process. The destructor kills it with SIGKILL if it still runs.
class child_process
{
public:
    // Appends standard output and standard error to the files.
    child_process(
        const std::vector<std::string>& arguments,
        const std::string& output_file, const std::string& error_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;

    // Waits for the exit. Returns the exit code, 128 + signal number, or
    // nothing when the process still runs after the limit.
    std::optional<int> wait(double limit_seconds);
    bool running();

    // Valid until wait or running has reaped the process.
    pid_t pid() const
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace hickorygap::testing

#endif
