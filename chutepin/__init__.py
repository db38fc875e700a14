"""chutepin: a node that brokers requests between callers, an executor and the service below."""
