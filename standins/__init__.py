"""Stand-ins for the outside systems; the product never imports them."""
