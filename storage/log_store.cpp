#include "storage/log_store_impl.h"

namespace lycheetrestle::storage {

template class log_store<posix_files>;

} // namespace lycheetrestle::storage
