__all__ = ['ttypes', 'constants', 'Exchange']
