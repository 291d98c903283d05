// Interface of decoders for the operator's routing document, independent of its
// format.

#ifndef BULRUSHMOUNT_CORE_ROUTES_ROUTE_DOCUMENT_H_
#define BULRUSHMOUNT_CORE_ROUTES_ROUTE_DOCUMENT_H_

#include <string>
#include <string_view>
#include <variant>

#include "core/common/ids.h"
#include "core/routes/route_config.h"

namespace bulrushmount {

// A successfully decoded document.
struct RouteDocument {
  // The operator's version: increases with each change, not always by one.
  Revision revision;
  RouteConfig config;
};

// Why a document is rejected, as one line for the log.
struct RouteDocumentFault {
  std::string message;
};

class RouteDocumentDecoder {
 public:
  virtual ~RouteDocumentDecoder() = default;

  // A document with any fault is rejected as a whole.
  virtual std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view text) const = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTES_ROUTE_DOCUMENT_H_
