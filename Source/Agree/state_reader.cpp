#include "Agree/state_reader.h"

namespace sagesaddle {

namespace {

// Reads one batch. Returns false where the end of the stream was reached.
bool readBatch(log_client& log, const std::string& stream, state_replica& replica,
    const state_replica::observer& observe)
{
    try {
        const log_batch batch = log.read(stream, replica.nextOffsetToRead(), recordsPerRead, milliseconds(0));
        replica.foldRecords(batch.first, batch.records, observe);
        return batch.next < batch.end;
    } catch (const log_error& error) {
        if (error.failure() != log_failure::Lapsed)
            throw;
        replica.startSnapshotSearch(error.earliestOffset());
        return true;
    }
}

} // namespace

void readToEnd(log_client& log, const std::string& stream, state_replica& replica,
    const state_replica::observer& observe)
{
    while (readBatch(log, stream, replica, observe)) { }
    if (replica.isSearchingSnapshot())
        throw std::runtime_error("read of log stream " + stream
            + ": its first records have lapsed and it has no snapshot "
              "of them; start an entry that still has the state, so that it appends one");
}

} // namespace sagesaddle
