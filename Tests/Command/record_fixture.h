#pragma once

#include "Base/address.h"
#include "Command/command_line.h"

#include <filesystem>
#include <string>

namespace sagesaddle::testing {

/// \brief A folder of records that is removed at the end of a test.
class record_fixture {
public:
    record_fixture();
    ~record_fixture();

    record_fixture(const record_fixture&) = delete;
    record_fixture& operator=(const record_fixture&) = delete;

    std::string path() const { return m_path.string(); }

    /// Replaces the folder's only file.
    void write(const std::string& text) const;

    /// \return a request to apply the folder.
    apply_request applyTo(const address& log, const std::string& operatorName) const;

private:
    std::filesystem::path m_path;
};

/// \return a file with one team of that name and a key of it.
std::string teamFile(const std::string& name);

} // namespace sagesaddle::testing
