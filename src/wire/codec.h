/// @file
/// Includes the codecs of all interfaces of a controller. Code that needs only one interface should
/// include that codec's header instead. Decoders throw Malformed and nothing else.
#pragma once
#include "wire/cloud_codec.h"   // IWYU pragma: export
#include "wire/record_codec.h"  // IWYU pragma: export
#include "wire/state_codec.h"   // IWYU pragma: export
#include "wire/user_codec.h"    // IWYU pragma: export
#include "wire/worker_codec.h"  // IWYU pragma: export
