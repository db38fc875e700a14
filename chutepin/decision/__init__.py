"""Admission and scheduling decisions for servers behind other people's balancers."""
