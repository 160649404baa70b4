#ifndef HICKORYGAP_TESTS_SUPPORT_TEMPORARY_FOLDER_HPP
#define HICKORYGAP_TESTS_SUPPORT_TEMPORARY_FOLDER_HPP

#include <cstdlib>
#include <filesystem>
#include <string>

namespace hickorygap::test
{

// Temporary data folder; its destructor removes it.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name =
            std::filesystem::temp_directory_path() / "hickorygap-XXXXXX";
        path_ = ::mkdtemp(name.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }

    std::string path() const
    {
        return path_;
    }

    // Path of the first file whose name starts with the prefix; empty when
    // there is none.
    std::filesystem::path file(const std::string& prefix) const
    {
        for (const auto& item : std::filesystem::directory_iterator{path_})
        {
            if (item.path().filename().string().starts_with(prefix))
            {
                return item.path();
            }
        }
        return {};
    }

private:
    std::filesystem::path path_;
};

} // namespace hickorygap::test

#endif
