#include "scenarios/runner/child_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace hickorygap::testing
{

namespace
{

void redirect(const std::string& file, int descriptor)
{
    constexpr mode_t mode = 0644;
    const int opened =
        ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    ::dup2(opened, descriptor);
    ::close(opened);
}

} // namespace

child_process::child_process(
    const std::vector<std::string>& arguments, const std::string& output_file,
    const std::string& error_file)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments)
    {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0)
    {
        redirect(output_file, STDOUT_FILENO);
        redirect(error_file, STDERR_FILENO);
        // An inherited socket would keep the parent's port in use after the
        // parent has closed it.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(argv.front(), argv.data());
        constexpr int not_started = 127;
        std::_Exit(not_started);
    }
}

child_process::~child_process()
{
    if (running())
    {
        signal(SIGKILL);
        constexpr double limit_seconds = 10;
        wait(limit_seconds);
    }
}

void child_process::signal(int number) const
{
    if (!status_)
    {
        ::kill(pid_, number);
    }
}

bool child_process::running()
{
    return !wait(0);
}

std::optional<int> child_process::wait(double limit_seconds)
{
    const auto limit = std::chrono::steady_clock::now() +
                       std::chrono::duration<double>{limit_seconds};
    while (!status_)
    {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            constexpr int signal_base = 128;
            status_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                        : signal_base + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= limit)
        {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return status_;
}

} // namespace hickorygap::testing
