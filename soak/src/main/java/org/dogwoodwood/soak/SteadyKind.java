package org.dogwoodwood.soak;

/** Kinds of requests that the clients of a soak of returning targets send. */
enum SteadyKind implements SteadyRequest {
    /** Reads of the same page by all clients. */
    PAGE {
        @Override
        public String path(String id) {
            return "/page";
        }
    },
    /** Reads of different pages. */
    READS {
        @Override
        public String path(String id) {
            return "/reads/" + id;
        }
    },
    /** Requests that may run at most once. */
    WRITES {
        @Override
        public String path(String id) {
            return "/writes/" + id;
        }

        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String host(String service) {
            return "write." + service;
        }
    };
}
