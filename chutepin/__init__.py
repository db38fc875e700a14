"""chutepin: a broker of requests between callers, an executor and the records service."""
