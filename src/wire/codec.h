/// @file
/// All codecs of the controllers' interfaces in one include. Code that needs one interface only
/// should include that one's header. Decoders throw Malformed and nothing else.
#pragma once
#include "wire/cloud_codec.h"   // IWYU pragma: export
#include "wire/record_codec.h"  // IWYU pragma: export
#include "wire/state_codec.h"   // IWYU pragma: export
#include "wire/user_codec.h"    // IWYU pragma: export
#include "wire/worker_codec.h"  // IWYU pragma: export
