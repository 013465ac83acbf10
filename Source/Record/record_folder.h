#pragma once

#include "Record/fleet_state.h"
#include "Record/log_record.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief The objects that the files of an operator's folder declare.
struct record_folder {
    /// Newest schema version that a file names.
    std::uint32_t schema { 1 };
    std::vector<declared_object> objects;

    auto operator<=>(const record_folder&) const = default;
};

/// \brief Reads all `*.toml` files of a folder, in the order of their names, and merges their objects.
/// \throws record_error that names the file, the table, the field, the allowed range and the remedy
record_folder readRecordFolder(const std::filesystem::path& folder);

/// \brief Parses the text of one file and adds its objects to the folder.
/// \param file name of the file, for error messages
/// \throws record_error as readRecordFolder does
void parseRecordFile(const std::string& text, const std::string& file, record_folder& folder);

/// \return the change, against the state's revision, after which the state declares exactly the folder's
/// objects; without puts and removals if it already does.
change_record makeFolderChange(
    const fleet_state& state, const record_folder& folder, const std::string& operatorName);

} // namespace sagesaddle
